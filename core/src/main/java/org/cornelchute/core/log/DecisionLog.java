package org.cornelchute.core.log;

import java.util.Collection;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Writes one structured line per decision on the logger {@code decisions}.
 *
 * <p>The line is {@code kind key=value ...}, values quoted where they hold blanks, so that a plain
 * text search and a field-splitting tool both work on it.
 */
public final class DecisionLog {

  /** Name of the logger; its level is changeable at run time. */
  public static final String LOGGER_NAME = "decisions";

  private static final Logger LOG = LoggerFactory.getLogger(LOGGER_NAME);

  private DecisionLog() {}

  /** Returns whether lines are written at all; spares the caller from building them. */
  public static boolean isEnabled() {
    return LOG.isInfoEnabled();
  }

  /** Writes a decision. */
  public static void write(Decision d) {
    if (!LOG.isInfoEnabled()) {
      return;
    }
    StringBuilder line = new StringBuilder(160);
    line.append(d.kind()).append(" subject=").append(quote(d.subject()));
    line.append(" choice=").append(quote(d.choice()));
    line.append(" reason=").append(quote(d.reason()));
    line.append(" candidates=").append(quote(join(d.candidates())));
    line.append(" rules=").append(d.rulesVersion());
    if (!d.workspace().isEmpty()) {
      line.append(" workspace=").append(quote(d.workspace()));
    }
    LOG.info("{}", line);
  }

  private static String join(Collection<String> names) {
    return String.join(",", names);
  }

  private static String quote(String value) {
    if (value.isEmpty()) {
      return "\"\"";
    }
    if (value.indexOf(' ') < 0 && value.indexOf('"') < 0) {
      return value;
    }
    return '"' + value.replace("\"", "'") + '"';
  }
}
