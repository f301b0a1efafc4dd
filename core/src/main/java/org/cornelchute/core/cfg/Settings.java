package org.cornelchute.core.cfg;

/**
 * Marks a record of settings.
 *
 * <p>The record's constructor checks ranges and throws {@link IllegalArgumentException} with a
 * message that names the key and its accepted form; {@link SettingsReader} turns that into a value.
 */
public interface Settings {}
