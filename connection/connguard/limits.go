package connguard

// Machine is what a process may use of its machine.
type Machine struct {
	// Memory is in bytes; 0 is unknown.
	Memory int64
	// Descriptors is the number of descriptors that the process may open.
	Descriptors int
}

const (
	// unknownMemory stands for memory that is unknown, bytes.
	unknownMemory = 1_000_000_000
	// connectionBytes is what a connection takes besides the head of its request: its goroutine, its
	// buffers and the state of net/http, bytes.
	connectionBytes = 16 << 10
	// The parts of the memory that callers' connections and the heads of their requests may take,
	// and the heads at one of the other servers.
	connectionsDivisor   = 8
	callerHeadsDivisor   = 16
	internalHeadsDivisor = 64
	// Callers get callerShare of shareWhole of the descriptors, processes that have not proved a key
	// yet handshakeShare. The rest is for servers, links, files and the other servers of the process.
	callerShare    = 2
	handshakeShare = 1
	shareWhole     = 5
	// An internal server, for example that of the administration, gets a part of the descriptors
	// within bounds.
	internalDivisor        = 32
	minInternalConnections = 8
	maxInternalConnections = 64
)

func (m Machine) memory() int64 {
	if m.Memory == 0 {
		return unknownMemory
	}
	return m.Memory
}

// CallerLimits returns the limits of the servers for callers.
func CallerLimits(m Machine) Limits {
	return Limits{
		Connections: int(min(int64(m.Descriptors)*callerShare/shareWhole, m.memory()/connectionsDivisor/connectionBytes)),
		HeadBytes:   m.memory() / callerHeadsDivisor,
	}
}

// InternalLimits returns the limits of a server for operators or the platform.
func InternalLimits(m Machine) Limits {
	return Limits{
		Connections: min(max(m.Descriptors/internalDivisor, minInternalConnections), maxInternalConnections),
		HeadBytes:   m.memory() / internalHeadsDivisor,
	}
}

// HandshakeLimits returns the limits of connections of processes that have not proved a key yet.
func HandshakeLimits(m Machine) Limits {
	return Limits{Connections: m.Descriptors * handshakeShare / shareWhole}
}
