package ident

// Era counts how often the platform's store was restored from an older copy of itself. What
// was written after that copy is gone, and versions are given out again.
type Era uint64

const (
	// EraBits is the number of the higher bits of a revision that hold the era. The
	// others hold the store's own version, so that revisions rise across eras.
	EraBits     = 24
	versionBits = 64 - EraBits
)

// MaxVersion is the highest version that a revision can hold.
const MaxVersion Revision = 1<<versionBits - 1

// Revision returns the revision for a version that the store gave out in the era.
func (era Era) Revision(version Revision) Revision {
	return Revision(era)<<versionBits | version
}

// Era returns the era of the revision.
func (revision Revision) Era() Era { return Era(revision >> versionBits) }

// Version returns the store's own version in the revision.
func (revision Revision) Version() Revision { return revision & MaxVersion }
