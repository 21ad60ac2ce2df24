package daemon

import (
	"context"
	"log/slog"
	"os"
	"os/signal"
	"syscall"
)

// hangupService logs each SIGHUP until its context ends. Without it the signal would end the
// process and cut its requests.
type hangupService struct {
	logger  *slog.Logger
	signals chan os.Signal
}

func newHangupService(logger *slog.Logger) *hangupService {
	service := &hangupService{logger: logger, signals: make(chan os.Signal, 1)}
	signal.Notify(service.signals, syscall.SIGHUP)
	return service
}

func (service *hangupService) run(ctx context.Context) {
	for {
		select {
		case <-service.signals:
			service.logger.Warn("Settings not reloaded. A changed settings file takes a restart.", "reason", "signal")
		case <-ctx.Done():
			return
		}
	}
}
