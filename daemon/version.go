package daemon

// Version is the version of all programs.
const Version = "0.1.0"
