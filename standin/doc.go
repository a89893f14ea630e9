// Package standin holds small stand-ins at lilacbridge's interfaces: a model
// engine, a plain service and the platform's list of instances.
//
// Every answer is a pure function of its request, so that a load tool can check
// each byte. Faults are turned on by settings or while it runs, by POST /fault.
// It is no simulator of a cluster: a process stands for one replica.
package standin
