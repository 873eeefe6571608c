package gateway

import (
	"fmt"
	"strconv"
	"strings"
)

// formatScope names a scope of cached parts. workspace is empty for those that share parts.
func formatScope(model string, version int, workspace string) string {
	return fmt.Sprintf("%d/%s/%s", version, workspace, model)
}

// parseScope returns the model and weight version of a scope.
func parseScope(scope string) (model string, version int, ok bool) {
	fields := strings.SplitN(scope, "/", 3)
	if len(fields) != 3 {
		return "", 0, false
	}
	version, err := strconv.Atoi(fields[0])
	return fields[2], version, err == nil
}
