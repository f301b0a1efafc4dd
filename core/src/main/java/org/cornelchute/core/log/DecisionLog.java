package org.cornelchute.core.log;

import java.util.Collection;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Writes one structured line per decision to the logger {@code decisions}.
 *
 * <p>A line has the form {@code kind key=value ...}. Values that contain blanks are quoted, so that
 * tools that split a line into fields can read it as well as a text search.
 */
public final class DecisionLog {

  /** Name of the logger; its level can be changed at run time. */
  public static final String LOGGER_NAME = "decisions";

  private static final Logger LOG = LoggerFactory.getLogger(LOGGER_NAME);

  private DecisionLog() {}

  /** Returns whether decisions are logged; if not, callers can skip building them. */
  public static boolean isEnabled() {
    return LOG.isInfoEnabled();
  }

  /** Writes a decision. */
  public static void write(Decision decision) {
    if (!LOG.isInfoEnabled()) {
      return;
    }
    StringBuilder line = new StringBuilder(160);
    line.append(decision.kind()).append(" subject=").append(quote(decision.subject()));
    line.append(" choice=").append(quote(decision.choice()));
    line.append(" reason=").append(quote(decision.reason()));
    line.append(" candidates=").append(quote(join(decision.candidates())));
    line.append(" rules=").append(decision.rulesVersion());
    if (!decision.workspace().isEmpty()) {
      line.append(" workspace=").append(quote(decision.workspace()));
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
