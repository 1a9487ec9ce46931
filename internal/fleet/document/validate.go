package document

import (
	"reflect"
	"strconv"
	"strings"

	"github.com/go-playground/validator/v10"
	"github.com/pkg/errors"
)

var structValidator = newValidator()

func newValidator() *validator.Validate {
	v := validator.New(validator.WithRequiredStructEnabled())
	v.RegisterTagNameFunc(FieldName)
	return v
}

// Check reports every value of the struct v that violates its `validate` tag. The keys
// are those of v below prefix.
func (d *Document) Check(prefix string, v any) {
	for _, p := range Violations(v) {
		d.Report(join(prefix, p.Key), p.Reason)
	}
}

// Violations returns a problem, without file and line, for every value of the struct v
// that violates its `validate` tag.
func Violations(v any) []Problem {
	var failed validator.ValidationErrors
	if !errors.As(structValidator.Struct(v), &failed) {
		return nil
	}
	var problems []Problem
	for _, f := range failed {
		problems = append(problems, Problem{Key: keyOf(f.Namespace()), Reason: reasonOf(f)})
	}
	return problems
}

// keyOf returns a validator's namespace without the name of the outer struct.
func keyOf(namespace string) string {
	_, key, _ := strings.Cut(namespace, ".")
	return key
}

func reasonOf(f validator.FieldError) string {
	bound := f.Param()
	switch {
	case f.Kind() == reflect.Slice:
		bound += " entries"
	case f.Type() == reflect.TypeFor[Size]():
		bound = sizeBound(bound)
	}
	switch f.Tag() {
	case "required":
		return "is missing"
	case "min", "gte":
		return "must be at least " + bound
	case "max", "lte":
		return "must be at most " + bound
	case "gt":
		return "must be more than " + bound
	case "oneof":
		return "must be one of " + strings.ReplaceAll(f.Param(), " ", ", ")
	case "startswith":
		return "must start with " + bound
	case "hostname_rfc1123":
		return "must be letters, digits, dots and hyphens"
	case "sha256":
		return "must be a SHA-256 hash in 64 hexadecimal digits"
	case "ip":
		return "must be an IP address, not a host name"
	default:
		return "must be " + strings.TrimSpace(f.Tag()+" "+f.Param())
	}
}

func sizeBound(param string) string {
	n, err := strconv.ParseInt(param, 10, 64)
	if err != nil {
		return param
	}
	return Size(n).String()
}
