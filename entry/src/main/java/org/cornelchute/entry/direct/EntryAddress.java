package org.cornelchute.entry.direct;

/**
 * How an entry is reached by the other entries.
 *
 * @param address address for reports as {@code ip:port}, empty if the entry receives none
 * @param region region of the entry, empty if it is not known
 */
public record EntryAddress(String address, String region) {}
