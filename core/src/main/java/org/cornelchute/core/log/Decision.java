package org.cornelchute.core.log;

import java.util.List;

/**
 * One routing or placement decision.
 *
 * @param kind what was decided, such as {@code route} or {@code place}
 * @param subject request, version or member that it concerns
 * @param workspace payer of the request, or empty
 * @param candidates options considered, in the order of preference
 * @param choice the option taken, or empty if none
 * @param reason why
 * @param rulesVersion version of the rules in force
 */
public record Decision(
    String kind,
    String subject,
    String workspace,
    List<String> candidates,
    String choice,
    String reason,
    long rulesVersion) {}
