package memory

import "github.com/egrethoist/egrethoist/internal/metastore"

var _ metastore.Store = (*Store)(nil)
