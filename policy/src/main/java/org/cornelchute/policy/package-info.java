/**
 * Deciders: classes that make decisions without side effects on the outside.
 *
 * <p>Each method takes the current time and an input and returns the effects to be carried out as
 * records. No class in this package reads a clock, opens a socket or starts a thread, so replaying
 * a recorded sequence of inputs produces the same effects. Times are in milliseconds on the clock
 * of the caller.
 */
package org.cornelchute.policy;
