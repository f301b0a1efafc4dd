/**
 * Pure deciders.
 *
 * <p>Each takes the present time and an input and returns effects as records. Nothing here reads a
 * clock, opens a socket or starts a thread, so that a recorded trace replays to the same effects.
 * Times are milliseconds on the clock of the caller.
 */
package org.cornelchute.policy;
