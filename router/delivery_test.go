package router

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/laureltally/laureltally/claim"
	"github.com/laureltally/laureltally/wire"
)

func TestClaimFailure(t *testing.T) {
	tests := []struct {
		err  error
		code wire.Code
		run  wire.Run
	}{
		{&claim.KeyReusedError{}, wire.CodeKeyReused, wire.RunNot},
		{&claim.ExpiredError{Age: 2 * time.Hour, Window: time.Hour}, wire.CodeAnswerGone, wire.RunUnknown},
		{&claim.OverflowError{RetryAfter: time.Second}, wire.CodeOverloaded, wire.RunNot},
		{&claim.PlatformError{RetryAfter: time.Second, Err: context.DeadlineExceeded}, wire.CodePlatformDown, wire.RunUnknown},
		{&claim.ClosedError{}, wire.CodeInternal, wire.RunUnknown},
		{context.DeadlineExceeded, wire.CodeDeadline, wire.RunUnknown},
		{context.Canceled, wire.CodeCanceled, wire.RunUnknown},
		{&Failure{Code: wire.CodeNoReplica, Run: wire.RunNot}, wire.CodeNoReplica, wire.RunNot},
	}
	for _, test := range tests {
		f := claimFailure(fmt.Errorf("begin: %w", test.err))
		if f.Code != test.code || f.Run != test.run {
			t.Errorf("%T: got %s, %s", test.err, f.Code, f.Run)
		}
	}
}
