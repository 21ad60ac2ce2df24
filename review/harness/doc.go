// Command harness runs the cases of the review that can't be put as a day of the
// bench. It plays the platform's store, the runners, the operator and the consumers,
// and starts the routers as processes of their own with the command of the deploy file.
package main
