package model

import (
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protoreflect"

	lilacv1 "github.com/lilacbridge/lilacbridge/api/lilacbridge/v1"
	"github.com/lilacbridge/lilacbridge/process/fault"
)

// Merge returns a copy of old in which the named fields have the values of update. It
// does not modify its arguments. If no fields are named or old is nil, it returns update.
func Merge[M proto.Message](old, update M, fields []string) (M, error) {
	if len(fields) == 0 || !old.ProtoReflect().IsValid() {
		return update, nil
	}
	merged := proto.CloneOf(old)
	to, from := merged.ProtoReflect(), update.ProtoReflect()
	for _, name := range fields {
		field := to.Descriptor().Fields().ByName(protoreflect.Name(name))
		if field == nil {
			return merged, fault.Newf(lilacv1.ErrorKind_ERROR_KIND_INVALID_CHANGE, "no field %q in %s; run the same version on all instances", name, to.Descriptor().Name())
		}
		to.Clear(field)
		if from.Has(field) {
			to.Set(field, from.Get(field))
		}
	}
	return merged, nil
}
