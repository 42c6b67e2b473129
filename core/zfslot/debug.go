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

func (m *Mapper) DebugHandover() string {
	s := fmt.Sprintf("view %x since %s awaited %v batches %d tokens %f:", m.digest%0xffff, m.lastTick.Sub(m.handover.since), m.handover.awaited, len(m.handover.batches), m.limiter.TokensAt(m.lastTick))
	for _, b := range m.handover.batches {
		s += fmt.Sprintf(" [%s rows %d last %t copies %t]", b.to, len(b.message.Rows), b.message.Last, b.copies)
	}
	for _, mm := range m.view.Members {
		s += fmt.Sprintf(" %s/%d/%t/%t", mm.Name, mm.Incarnation, mm.Ready, mm.Recent)
	}
	return s
}
