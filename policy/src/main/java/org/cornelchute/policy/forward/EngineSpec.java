package org.cornelchute.policy.forward;

/**
 * Published speed of a model engine.
 *
 * @param model name of the model that it serves
 * @param stepMillis time of one token step
 * @param stepMillisPerSequence added to a step for each sequence that is being generated
 * @param promptTokensPerMilli prompt tokens read in a millisecond
 * @param stepsPerPass token steps in one pass
 * @param meanPromptTokens usual prompt, in tokens
 * @param meanOutputTokens usual answer, in tokens
 */
public record EngineSpec(
    String model,
    double stepMillis,
    double stepMillisPerSequence,
    double promptTokensPerMilli,
    int stepsPerPass,
    double meanPromptTokens,
    double meanOutputTokens) {}
