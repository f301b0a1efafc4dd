package org.cornelchute.core.model;

/**
 * Load of an endpoint, reported by its agent with every answer.
 *
 * @param limit maximum number of requests that the endpoint may run concurrently
 * @param running requests dispatched to the endpoint and not yet ended
 * @param queued requests waiting in the agent's queue
 * @param ready whether the agent accepts new requests
 * @param generation generation that the endpoint serves
 * @param boot incarnation of the agent, which identifies every request sent to it
 */
public record Load(
    int limit, int running, int queued, boolean ready, Generation generation, long boot) {}
