package wire

// Code is the reason why a request was refused or its response aborted.
type Code string

// The reasons for refusals and aborts.
const (
	CodeOverloaded          Code = "overloaded"
	CodeDeadline            Code = "deadline"
	CodeNoReplica           Code = "no_replica"
	CodeLoadFailed          Code = "load_failed"
	CodeDraining            Code = "draining"
	CodeWrongIncarnation    Code = "wrong_incarnation"
	CodeTombstoned          Code = "tombstoned"
	CodeDuplicateAttempt    Code = "duplicate_attempt"
	CodeUnknownAttempt      Code = "unknown_attempt"
	CodeUpstreamFailed      Code = "upstream_failed"
	CodeUpstreamLost        Code = "upstream_lost"
	CodePlatformUnavailable Code = "platform_unavailable"
	CodeRateLimited         Code = "rate_limited"
	CodeUnknownModel        Code = "unknown_model"
	CodeUnknownEnvironment  Code = "unknown_environment"
	CodeUnknownService      Code = "unknown_service"
	CodeUnauthorized        Code = "unauthorized"
	CodeMalformed           Code = "malformed"
	CodeBodyTooLarge        Code = "body_too_large"
	CodeBodyTimeout         Code = "slow_body"
	CodeKeyReused           Code = "key_reused"
	CodeResponseExpired     Code = "answer_gone"
	CodeCanceled            Code = "canceled"
	CodeInternal            Code = "internal"
)
