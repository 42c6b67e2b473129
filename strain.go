package zinniafront

// Resource is a resource of an instance that may run short.
type Resource uint8

// The resources.
const (
	ResourceProcessor Resource = iota
	ResourceQueue
	ResourceLink
	ResourceMemory
	ResourceDescriptors
)

// String returns the resource's name in logs and counters.
func (r Resource) String() string {
	switch r {
	case ResourceProcessor:
		return "processor"
	case ResourceQueue:
		return "queue"
	case ResourceLink:
		return "link"
	case ResourceMemory:
		return "memory"
	case ResourceDescriptors:
		return "descriptors"
	default:
		return "unknown"
	}
}

// ResourceUse is the use of one resource as a share of its limit.
type ResourceUse struct {
	Resource Resource
	Use      float64
}

// Strain is how far the resources of an instance suffice for its work.
type Strain uint8

// The degrees of strain.
const (
	// StrainNone means that all resources suffice.
	StrainNone Strain = iota
	// StrainShort means that work that can wait is put off.
	StrainShort
	// StrainOverloaded means that the instance can't do its work.
	StrainOverloaded
)

// String returns the strain's name in logs.
func (s Strain) String() string {
	switch s {
	case StrainNone:
		return "none"
	case StrainShort:
		return "short"
	case StrainOverloaded:
		return "overloaded"
	default:
		return "unknown"
	}
}
