package org.cornelchute.core.log;

import java.util.List;

/**
 * One routing or placement decision.
 *
 * @param kind kind of decision, such as {@code route} or {@code place}
 * @param subject request, version or member that the decision concerns
 * @param workspace workspace that the request is accounted to, or empty
 * @param candidates options considered, in order of preference
 * @param choice the chosen option, or empty if none was chosen
 * @param reason reason for the choice
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
