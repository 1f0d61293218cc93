package boundedhttp

// phase is what a connection is doing.
type phase int

const (
	// starting means that the server does not read the connection yet.
	starting phase = iota
	// waiting means that the client owes a header or a body, or is idle.
	waiting
	// serving means that a request is being served. Only a connection whose client does not
	// take the response can be closed then.
	serving
	// ending means that the server has closed its half and ends the connection soon.
	ending
	// closing means that the connection has been closed to make room and that the server has
	// not noticed yet.
	closing
)
