// Package standin simulates the services that lilacbridge depends on: a model engine, a
// plain service and the platform's list of instances.
//
// Every answer is a pure function of its request, so that a load generator can check each
// byte. Faults are injected by settings, or at run time by POST /fault. A process stands
// for one replica.
package standin
