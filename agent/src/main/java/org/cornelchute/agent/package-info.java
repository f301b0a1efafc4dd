/** The agent beside an endpoint: last word on admission, weights, orders to the engine. */
package org.cornelchute.agent;
