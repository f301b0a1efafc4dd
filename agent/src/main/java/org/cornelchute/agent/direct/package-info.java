/**
 * An agent that distributes weights only: it shares chunks with other agents and has the engine on
 * its VM load them.
 *
 * <p>Calls go directly from entries to engines and do not pass through this agent. Its resources
 * are limited by the narrow link of the VM and by the time within which operators require a version
 * to be in force.
 */
package org.cornelchute.agent.direct;
