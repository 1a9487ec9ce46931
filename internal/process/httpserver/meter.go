package httpserver

import "bytes"

const (
	// byteCost is what a byte of a header makes the process hold: the read buffer, the parsed strings and their copy for the endpoint.
	byteCost = 3
	// lineCost is what a line of a header makes the process hold besides its bytes: entries in the header's map and in its clone for
	// the endpoint, with the garbage of the map's growth that the collector allows.
	lineCost = 256
	// readBufferSize is the size of the read buffer of net/http, which may hold the beginning of the next request.
	readBufferSize = 4 << 10
)

// meter counts the header of the request that is read from a connection, before net/http parses it. It counts everything that is read
// until headerRead says that the header is complete, so that it never counts less than net/http parses. The zero value waits for the first
// request.
type meter struct {
	// size and lines are the bytes and line ends that may belong to the header.
	size, lines int
	// headerSize is the size of the header once it is complete.
	headerSize int
	// emptyLines counts the empty lines before the request line.
	emptyLines int
	// begun says that a line that is not empty has begun.
	begun bool
	// complete says that an empty line has ended the header, known that net/http has parsed it.
	complete, known bool
	// line is the state of the present line.
	line lineState
	// restSize and restLines are the part of the last read that may belong to the next request.
	restSize, restLines int
}

// lineState is what has been read of a line.
type lineState int

const (
	lineEmpty lineState = iota
	lineCarriageReturn
	lineText
)

// read counts data. buffered says that it was read into the buffer of net/http.
func (m *meter) read(data []byte, buffered bool) {
	if m.known {
		m.readBody(data, buffered)
		return
	}
	m.size += len(data)
	rest := data
	wasComplete := m.complete
	for !m.complete && len(rest) > 0 {
		rest = m.readLine(rest)
	}
	if !m.complete {
		m.restSize, m.restLines = len(data), bytes.Count(data, []byte{'\n'})
		return
	}
	m.restSize, m.restLines = len(rest), bytes.Count(rest, []byte{'\n'})
	m.lines += m.restLines
	if !wasComplete {
		m.headerSize = m.size - m.restSize
	}
}

// readLine counts a line or its part, and returns the data behind it.
func (m *meter) readLine(data []byte) []byte {
	end := bytes.IndexByte(data, '\n')
	if end < 0 {
		m.readPart(data)
		return nil
	}
	m.readPart(data[:end])
	isEmpty := m.line != lineText
	m.line = lineEmpty
	switch {
	case !isEmpty:
		m.begun = true
		m.lines++
	case m.begun:
		m.complete = true
	default:
		m.emptyLines++
	}
	return data[end+1:]
}

// readPart adds a part without a line end to the present line.
func (m *meter) readPart(part []byte) {
	switch {
	case len(part) == 0:
	case len(part) == 1 && part[0] == '\r' && m.line == lineEmpty:
		m.line = lineCarriageReturn
	default:
		m.line = lineText
	}
}

// readBody records the part of a body, or of a request behind it, that net/http may keep in its buffer.
func (m *meter) readBody(data []byte, buffered bool) {
	lines := 0
	if buffered {
		lines = bytes.Count(data, []byte{'\n'})
	}
	switch {
	case !buffered:
		m.restSize, m.restLines = 0, 0
	case len(data) == 1: // net/http reads a byte while a handler runs, and adds it to its buffer.
		m.restSize, m.restLines = m.restSize+1, m.restLines+lines
	default:
		m.restSize, m.restLines = len(data), lines
	}
}

// headerRead records that net/http has parsed the header.
func (m *meter) headerRead() { m.known = true }

// next begins another request, of which a part may have been read.
func (m *meter) next() {
	*m = meter{size: m.restSize, lines: m.restLines, restSize: m.restSize, restLines: m.restLines, begun: m.restSize > 0}
}

// hasText reports whether a line that is not empty has begun.
func (m *meter) hasText() bool { return m.begun || m.line == lineText }

// isReading reports whether a header is being read of which something has arrived.
func (m *meter) isReading() bool { return !m.known && m.size > 0 }

// cost returns the memory that the header makes the process hold, in bytes. The trailer of a body of unknown length counts too.
func (m *meter) cost() int64 { return int64(m.size)*byteCost + int64(m.lines)*lineCost }

// trailerCost returns the cost of a trailer in what was read last.
func (m *meter) trailerCost() int64 {
	if !m.known {
		return 0
	}
	return int64(m.restSize)*byteCost + int64(m.restLines)*lineCost
}
