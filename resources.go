package rudderfork

import "fmt"

// Resources is the capacity of a VM or the demand of a task.
type Resources struct {
	CPUMilli     int64 `cbor:"1,keyasint,omitempty" json:"cpu_milli"`    // thousandths of a core
	MemoryMB     int64 `cbor:"2,keyasint,omitempty" json:"memory_mb"`    // 10^6 bytes
	Accelerators int64 `cbor:"3,keyasint,omitempty" json:"accelerators"` // whole devices
}

// Add returns the sum of r and o.
func (r Resources) Add(o Resources) Resources {
	return Resources{r.CPUMilli + o.CPUMilli, r.MemoryMB + o.MemoryMB, r.Accelerators + o.Accelerators}
}

// Sub returns r minus o. Fields of the result may be negative.
func (r Resources) Sub(o Resources) Resources {
	return Resources{r.CPUMilli - o.CPUMilli, r.MemoryMB - o.MemoryMB, r.Accelerators - o.Accelerators}
}

// Min returns the minimum of r and o, field by field.
func (r Resources) Min(o Resources) Resources {
	return Resources{min(r.CPUMilli, o.CPUMilli), min(r.MemoryMB, o.MemoryMB), min(r.Accelerators, o.Accelerators)}
}

// Max returns the maximum of r and o, field by field.
func (r Resources) Max(o Resources) Resources {
	return Resources{max(r.CPUMilli, o.CPUMilli), max(r.MemoryMB, o.MemoryMB), max(r.Accelerators, o.Accelerators)}
}

// Fits reports whether r fits into free, the free capacity.
func (r Resources) Fits(free Resources) bool { return r.Lacking(free) == "" }

// Lacking returns the name of the first resource of which r needs more than free has, or "" if r
// fits.
func (r Resources) Lacking(free Resources) string {
	switch {
	case r.CPUMilli > free.CPUMilli:
		return "processors"
	case r.MemoryMB > free.MemoryMB:
		return "memory"
	case r.Accelerators > free.Accelerators:
		return "accelerators"
	}
	return ""
}

// String formats the resources for operators.
func (r Resources) String() string {
	return fmt.Sprintf("%.2f cores, %d MB, %d accelerators", float64(r.CPUMilli)/1000, r.MemoryMB, r.Accelerators)
}
