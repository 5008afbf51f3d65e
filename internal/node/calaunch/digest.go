package calaunch

import (
	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"

	"celeryarch.example/celeryarch/internal/base/cakind"
	"celeryarch.example/celeryarch/internal/base/cawork"
)

// specDigest returns a digest that distinguishes submissions with the same
// idempotency key. It omits the number of attempts, since the policy of the
// cell may lower it between two submissions. It is never 0.
func specDigest(spec cawork.JobSpec) (uint64, error) {
	spec.MaxAttempts = 0
	encoded, err := cbor.Marshal(spec)
	if err != nil {
		return 0, cakind.Wrap(cakind.KindInternal, err, "encode the job specification")
	}
	return max(xxhash.Sum64(encoded), 1), nil
}

// duplicateReply returns the job accepted earlier under the key of a
// submission, or a conflict if the specifications differ. A job without a
// digest was accepted by a version that did not write digests.
func (r FindKeyReply) duplicateReply(call SubmitCall) (SubmitReply, error) {
	digest, err := specDigest(call.Spec)
	if err != nil {
		return SubmitReply{}, err
	}
	if r.Digest != 0 && r.Digest != digest {
		return SubmitReply{}, cakind.New(cakind.KindConflict, "the idempotency key belongs to a different job")
	}
	return SubmitReply{Job: r.Job}, nil
}
