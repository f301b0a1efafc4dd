/**
 * Detection of calls that crash endpoints by a part of their prompt, from evidence that all entries
 * share.
 */
package org.cornelchute.policy.crash;
