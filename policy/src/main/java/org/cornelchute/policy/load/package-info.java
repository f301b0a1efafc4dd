/** Decisions on the load of endpoints: how much they carry, and for which calls there is room. */
package org.cornelchute.policy.load;
