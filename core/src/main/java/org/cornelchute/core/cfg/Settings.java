package org.cornelchute.core.cfg;

/**
 * Marker interface for settings records.
 *
 * <p>The constructor of the record validates its arguments and throws {@link
 * IllegalArgumentException} with a message that names the key and its accepted form; {@link
 * SettingsReader} converts the exception to a {@link org.cornelchute.core.outcome.Failure}.
 */
public interface Settings {}
