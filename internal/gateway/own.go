package gateway

import (
	"encoding/json"
	"fmt"
)

// Keys of the metadata store that belong to the system.
const (
	keyPrefix = "egret/"
	// InstancePrefix holds one key for each live instance, under its lease.
	InstancePrefix = keyPrefix + "instances/"
	// OrdersLock is held by the one instance that gives orders to targets; its revision is the fencing token.
	RolloutLockKey = keyPrefix + "locks/orders"
	// namedPrefix holds for each weight version when it was first seen: its time to be in use everywhere runs from then,
	// also while all instances are down.
	versionPrefix = keyPrefix + "named/"
	// LoadingKey holds which targets load weights, so that they get no new work, and which have loaded.
	RolloutStateKey = keyPrefix + "loading"
)

// Instance is the record of a live instance.
type Instance struct {
	Address string `json:"address"` // IP:port for the other instances
	Domain  string `json:"domain"`
}

func versionKey(model string, version int) string {
	return fmt.Sprintf("%s%s/%d", versionPrefix, model, version)
}

func decodeInstance(raw []byte) (Instance, error) {
	var in Instance
	err := json.Unmarshal(raw, &in)
	return in, err
}

func decodeRolloutState(raw []byte) (rolloutState, error) {
	var state rolloutState
	err := json.Unmarshal(raw, &state)
	return state, err
}
