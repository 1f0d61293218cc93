package loadlimit

// PermitID identifies one request and the permit that it is granted. The caller
// must choose a unique one.
type PermitID uint64
