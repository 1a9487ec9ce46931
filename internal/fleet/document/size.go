package document

import (
	"strconv"
	"strings"

	"github.com/goccy/go-yaml"
	"github.com/pkg/errors"
)

// Size is a number of bytes. Its text form has a unit, such as "512B", "64KiB", "8MiB",
// "2GiB" or "1TiB".
type Size int64

type sizeUnit struct {
	suffix string
	bytes  int64
}

// sizeUnits has "B" last, since the suffixes of the other units end with it too.
var sizeUnits = []sizeUnit{
	{"KiB", 1 << 10},
	{"MiB", 1 << 20},
	{"GiB", 1 << 30},
	{"TiB", 1 << 40},
	{"B", 1},
}

// ParseSize parses a whole number with a unit.
func ParseSize(text string) (Size, error) {
	for _, unit := range sizeUnits {
		digits, found := strings.CutSuffix(text, unit.suffix)
		if !found {
			continue
		}
		n, err := strconv.ParseInt(digits, 10, 64)
		if err != nil || n < 0 || n > (1<<62)/unit.bytes {
			break
		}
		return Size(n * unit.bytes), nil
	}
	return 0, errors.Errorf("%q is not a size: write a whole number and B, KiB, MiB, GiB or TiB, such as 64KiB", text)
}

// String returns the size in the largest unit of which it is a whole multiple.
func (s Size) String() string {
	for i := len(sizeUnits) - 2; i >= 0; i-- {
		unit := sizeUnits[i]
		if s != 0 && int64(s)%unit.bytes == 0 {
			return strconv.FormatInt(int64(s)/unit.bytes, 10) + unit.suffix
		}
	}
	return strconv.FormatInt(int64(s), 10) + "B"
}

// UnmarshalYAML implements yaml.BytesUnmarshaler.
func (s *Size) UnmarshalYAML(data []byte) error {
	var text string
	if err := yaml.Unmarshal(data, &text); err != nil {
		return errors.New("is not a size")
	}
	parsed, err := ParseSize(text)
	if err != nil {
		return err
	}
	*s = parsed
	return nil
}

// MarshalYAML implements yaml.InterfaceMarshaler.
func (s Size) MarshalYAML() (any, error) { return s.String(), nil }
