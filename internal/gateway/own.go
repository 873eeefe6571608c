package gateway

import (
	"encoding/json"
	"fmt"
	"strings"
)

// Keys of the metadata store that the instances write.
const (
	// KeyPrefix is the prefix of all of them.
	KeyPrefix = "egret/"
	// InstancePrefix is the prefix of the records of live instances, one for each, bound to its lease.
	InstancePrefix = KeyPrefix + "instances/"
	// MemberPrefix is the prefix of the records of instances that ran lately, bound to no lease: they last while live records expire or are
	// lost.
	MemberPrefix = KeyPrefix + "members/"
	// RolloutLockKey is the key of the lock that the rollout leader holds, the one instance that orders targets to load weights. The
	// revision of the key is the fencing token.
	RolloutLockKey = KeyPrefix + "locks/orders"
	// versionPrefix is the prefix of the records of when each weight version was first seen. The deadline for its use on all targets
	// counts from then, even while all instances are down.
	versionPrefix = KeyPrefix + "named/"
	// versionCheckKey is the key of the record of when all released weight versions were last known to be recorded under versionPrefix.
	versionCheckKey = KeyPrefix + "named-checked"
	// RolloutStateKey is the key of the published rollout state: which targets are out of rotation to load weights, which have loaded
	// them, and which cached parts are retired.
	RolloutStateKey = KeyPrefix + "loading"
	// sharedScopeKey is the key of the record of the cache scope that workspaces share, with those that may have cached parts in it.
	sharedScopeKey = KeyPrefix + "shared-scope"
	// QuarantinePrefix is the prefix of the records of quarantined parts of prompts.
	QuarantinePrefix = KeyPrefix + "quarantine/"
	// SoftwarePrefix is the prefix of the policies of services: at which software versions streams begin.
	SoftwarePrefix = KeyPrefix + "software/"
	// SoftwareRolloutPrefix is the prefix of the records of rollouts of services' software that operators have ordered.
	SoftwareRolloutPrefix = KeyPrefix + "rollouts/"
	// HoldPrefix is the prefix of the keys that are written with the announcement of a software version, and expire.
	HoldPrefix = KeyPrefix + "announcing/"
	// StreamPrefix is the prefix of the records of streams that began at another version than the baseline. They are not mirrored.
	StreamPrefix = KeyPrefix + "streams/"
)

// IsUnmirrored reports whether instances read a key only when they need it.
func IsUnmirrored(key string) bool { return strings.HasPrefix(key, StreamPrefix) }

// Instance is the record of a live instance.
type Instance struct {
	Address string `json:"address"` // IP:port for calls and load messages of other instances
	Domain  string `json:"domain"`  // failure domain
	// LinkMbps is the width of its network link in Mbit/s; zero: unknown, as of an earlier version.
	LinkMbps float64 `json:"link_mbps,omitempty"`
}

// versionKey returns the key of the record of a weight version.
func versionKey(model string, version int) string {
	return fmt.Sprintf("%s%s/%d", versionPrefix, model, version)
}

// decodeInstance decodes the record of an instance from JSON.
func decodeInstance(raw []byte) (Instance, error) {
	var in Instance
	err := json.Unmarshal(raw, &in)
	return in, err
}

// decodeRolloutState decodes the published rollout state from JSON.
func decodeRolloutState(raw []byte) (rolloutState, error) {
	var state rolloutState
	err := json.Unmarshal(raw, &state)
	return state, err
}
