package loadlimit

// PermitID identifies one request for a place. The caller makes it unique.
type PermitID uint64
