package zfwire

import (
	"encoding/binary"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	zf "zinniafront"
)

type slotRows struct {
	_       struct{} `cbor:",toarray"`
	Service string
	Names   []string
	Groups  []slotGroup
	Round   uint64
}

// slotGroup holds consecutive rows that differ in their slot only. Base, Active and
// Next are indexes into slotRows.Names that start at 1; 0 means none. Slots holds the
// differences between successive slot numbers as varints, the first one from 0.
type slotGroup struct {
	_       struct{} `cbor:",toarray"`
	Base    uint32
	Active  uint32
	Next    uint32
	Moved   bool
	Version uint32
	Writer  uint32
	Slots   []byte
}

// dictionary numbers names from 1; 0 is the empty name.
type dictionary struct {
	names []string
	index map[string]uint32
}

func newDictionary() *dictionary {
	return &dictionary{
		index: make(map[string]uint32),
	}
}

func (d *dictionary) add(name string) uint32 {
	if name == "" {
		return 0
	}
	if i, ok := d.index[name]; ok {
		return i
	}
	d.names = append(d.names, name)
	d.index[name] = uint32(len(d.names))
	return uint32(len(d.names))
}

func lookUp(names []string, index uint32) (string, error) {
	switch {
	case index == 0:
		return "", nil
	case int(index) > len(names):
		return "", errors.Errorf("name index %d out of range: the message holds %d names", index, len(names))
	default:
		return names[index-1], nil
	}
}

func slotRowsToWire(message zf.SlotRows) slotRows {
	names := newDictionary()
	w := slotRows{
		Service: string(message.Service),
		Round:   message.Round,
	}
	previous := uint16(0)
	for _, row := range message.Rows {
		group := slotGroup{
			Base:    names.add(string(row.Base)),
			Active:  names.add(string(row.Active)),
			Next:    names.add(string(row.Next)),
			Moved:   row.Moved,
			Version: row.Version,
			Writer:  row.Writer,
		}
		if last := len(w.Groups) - 1; last < 0 || !w.Groups[last].sameRow(group) || row.Slot < previous {
			w.Groups = append(w.Groups, group)
			previous = 0
		}
		last := &w.Groups[len(w.Groups)-1]
		last.Slots = binary.AppendUvarint(last.Slots, uint64(row.Slot-previous))
		previous = row.Slot
	}
	w.Names = names.names
	return w
}

// sameRow reports whether two groups differ in their slots only.
func (g slotGroup) sameRow(other slotGroup) bool {
	return g.Base == other.Base && g.Active == other.Active && g.Next == other.Next &&
		g.Moved == other.Moved && g.Version == other.Version && g.Writer == other.Writer
}

func (c *Codec) decodeSlotRows(body cbor.RawMessage) (zf.Message, error) {
	var w slotRows
	if err := c.decode.Unmarshal(body, &w); err != nil {
		return nil, errors.Wrap(err, "slot rows")
	}
	message := zf.SlotRows{
		Service: zf.ServiceName(w.Service),
		Round:   w.Round,
	}
	for _, group := range w.Groups {
		rows, err := group.rows(w.Names)
		if err != nil {
			return nil, errors.Wrap(err, "slot rows")
		}
		message.Rows = append(message.Rows, rows...)
	}
	return message, nil
}

func (g slotGroup) rows(names []string) ([]zf.SlotRow, error) {
	var servers [3]string
	for i, index := range [...]uint32{g.Base, g.Active, g.Next} {
		name, err := lookUp(names, index)
		if err != nil {
			return nil, err
		}
		servers[i] = name
	}
	rows := make([]zf.SlotRow, 0, len(g.Slots))
	slot := uint64(0)
	for rest := g.Slots; len(rest) > 0; {
		step, n := binary.Uvarint(rest)
		if n <= 0 || slot+step > 1<<16-1 {
			return nil, errors.New("slot increment is not a valid varint, or slot number exceeds 65535")
		}
		slot += step
		rest = rest[n:]
		rows = append(rows, zf.SlotRow{
			Slot:    uint16(slot),
			Base:    zf.ServerName(servers[0]),
			Active:  zf.ServerName(servers[1]),
			Next:    zf.ServerName(servers[2]),
			Moved:   g.Moved,
			Version: g.Version,
			Writer:  g.Writer,
		})
	}
	return rows, nil
}
