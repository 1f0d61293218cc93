package loadlimit

// PermitID identifies one request for a permit. The caller chooses a unique
// one.
type PermitID uint64
