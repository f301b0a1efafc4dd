package org.cornelchute.core.model;

/**
 * Limit of calls that an endpoint named in its latest response to some entry.
 *
 * @param endpoint hash code of the endpoint's incarnation
 * @param perSecond calls per second that the endpoint takes from all entries together; negative if
 *     it names no limit any more
 * @param ageMillis time since that response
 */
public record EndpointLimit(int endpoint, double perSecond, long ageMillis) {}
