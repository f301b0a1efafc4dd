package org.cornelchute.core.model;

/**
 * Speed of an endpoint as its responses to one entry state it.
 *
 * @param endpoint hash code of the endpoint's incarnation
 * @param slowdown factor by which work takes longer than normal there
 * @param ageMillis time since the last of those responses
 */
public record EndpointSpeed(int endpoint, double slowdown, long ageMillis) {}
