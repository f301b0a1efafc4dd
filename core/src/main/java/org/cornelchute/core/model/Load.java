package org.cornelchute.core.model;

/**
 * What an agent says of its endpoint on every answer.
 *
 * @param limit requests that the endpoint may run at once
 * @param running requests dispatched to the endpoint and not ended
 * @param queued requests waiting in the agent
 * @param ready whether new work is accepted
 * @param generation what the endpoint serves
 * @param boot incarnation of the agent, part of every request's identity
 */
public record Load(
    int limit, int running, int queued, boolean ready, Generation generation, long boot) {}
