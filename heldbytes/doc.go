// Package heldbytes decides how many bytes a process may hold for its peers, and which
// peer is disconnected when a byte budget is used up.
//
// Load pattern: a thousand callers read one byte a second, or send their requests that
// slowly, on a VM of 160 MB, while other callers read and send as fast as their links
// allow. What the slow ones leave unread fills the VM's memory, and the process ends with
// all requests of all callers. Their number is not limited by what they cost themselves,
// so each is allowed a share of the budget until it is used up; then the peer that has
// been stalled longest, among the least urgent, makes room.
//
// A Budget is a pure state machine: it takes the time as an argument, does no I/O and is
// not safe for concurrent use. Its state is lost with the process, as are the bytes.
package heldbytes
