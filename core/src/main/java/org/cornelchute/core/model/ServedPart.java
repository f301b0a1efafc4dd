package org.cornelchute.core.model;

/**
 * A part of a prompt with which a call was served completely.
 *
 * @param part id of the part
 * @param ageMillis time since the response was complete
 */
public record ServedPart(long part, long ageMillis) {}
