package org.cornelchute.core.model;

/**
 * Calls that one entry has open at one endpoint.
 *
 * @param endpoint hash code of the endpoint's id, which takes a third of the id's bytes; two
 *     endpoints that share one are both taken for the fuller
 * @param calls number of calls, positive
 */
public record OpenCalls(int endpoint, int calls) {}
