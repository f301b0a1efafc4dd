package org.cornelchute.policy.forward;

/**
 * Published performance of a model engine.
 *
 * @param model name of the model that the engine serves
 * @param stepMillis duration of one token step
 * @param stepMillisPerSequence additional duration of a step for each sequence in generation
 * @param promptTokensPerMilli prompt tokens processed per millisecond
 * @param stepsPerPass token steps per pass
 * @param meanPromptTokens mean prompt length in tokens
 * @param meanOutputTokens mean response length in tokens
 */
public record EngineSpec(
    String model,
    double stepMillis,
    double stepMillisPerSequence,
    double promptTokensPerMilli,
    int stepsPerPass,
    double meanPromptTokens,
    double meanOutputTokens) {}
