// Package crowd contains tests of processes that many clients misuse at once: with bodies
// and headers that stop short of their end, are too large or consist of very many parts,
// with requests sent ahead, and with connections that are slow or idle.
package crowd
