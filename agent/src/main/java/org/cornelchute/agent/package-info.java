/**
 * Agent on the VM of an endpoint: admits requests, distributes weights and commands the engine to
 * load them.
 */
package org.cornelchute.agent;
