package zfslot

import "fmt"

func (m *Mapper) DebugRow(service string, hash uint64) string {
	for _, t := range m.tables {
		if string(t.view.Name) == service {
			s := t.slotOf(hash)
			r := t.rows[s]
			return fmt.Sprintf("slot %d base %s active %s next %s moved %t v%d w%d owner %s synced %t", s, m.names.name(r.base), m.names.name(r.active), m.names.name(r.next), r.moved, r.version, r.writer, m.owners[bucketOf(hash)], t.synced)
		}
	}
	return ""
}
