package org.cornelchute.core.model;

/**
 * Number of calls that one entry has in flight at one endpoint.
 *
 * @param endpoint hash code of the endpoint's id, which needs a third of the bytes of the id; if
 *     two endpoints have the same hash code, the higher count is assumed for both
 * @param calls number of calls, always positive
 */
public record OpenCalls(int endpoint, int calls) {}
