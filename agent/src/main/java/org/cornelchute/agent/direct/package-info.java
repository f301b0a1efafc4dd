/**
 * An agent on the users' platform: it brings weights to the engine beside it and shares them.
 *
 * <p>Calls do not pass through it; its limits are the VM's thin link and the time that operators
 * give a version to be everywhere.
 */
package org.cornelchute.agent.direct;
