package org.cornelchute.policy.forward;

/**
 * Published performance of a model engine.
 *
 * @param model name of the model that the engine serves
 * @param stepMillis duration of one token step
 * @param stepMillisPerSequence additional duration of a step for each sequence in generation
 * @param promptTokensPerMilli prompt tokens processed per millisecond
 * @param contextMillisPerThousand additional duration of a step for each 1,000 tokens of context, 0
 *     if not published
 * @param millisPerMillionPairs duration for each million pairs of prompt tokens, 0 if not published
 * @param chunkTokens prompt tokens processed in a step, 0 if not published
 * @param kvCacheTokens memory in tokens, 0 if not published
 * @param stepsPerPass token steps per pass
 * @param meanPromptTokens mean prompt length in tokens
 * @param meanOutputTokens mean response length in tokens
 */
public record EngineSpec(
    String model,
    double stepMillis,
    double stepMillisPerSequence,
    double promptTokensPerMilli,
    double contextMillisPerThousand,
    double millisPerMillionPairs,
    long chunkTokens,
    long kvCacheTokens,
    int stepsPerPass,
    double meanPromptTokens,
    double meanOutputTokens) {

  private static final double THOUSAND = 1_000;
  private static final double MILLION = 1_000_000;

  /** Creates the performance of an engine that publishes nothing on long prompts and memory. */
  public EngineSpec(
      String model,
      double stepMillis,
      double stepMillisPerSequence,
      double promptTokensPerMilli,
      int stepsPerPass,
      double meanPromptTokens,
      double meanOutputTokens) {
    this(
        model,
        stepMillis,
        stepMillisPerSequence,
        promptTokensPerMilli,
        0,
        0,
        0,
        0,
        stepsPerPass,
        meanPromptTokens,
        meanOutputTokens);
  }

  /**
   * Returns the time in milliseconds from the start of a call to its first event at an idle engine:
   * the steps that process the prompt, and the first pass.
   *
   * @param promptTokens tokens of the prompt, 0 for a prompt of mean length
   */
  public double firstEventMillis(long promptTokens) {
    double prompt = promptTokens > 0 ? promptTokens : meanPromptTokens;
    double promptSteps = chunkTokens > 0 ? Math.ceil(prompt / chunkTokens) : 1;
    double reading = promptTokensPerMilli > 0 ? prompt / promptTokensPerMilli : 0;
    // Each token attends to those before it.
    double attention = prompt * prompt / 2 / MILLION * millisPerMillionPairs;
    double step = stepMillis + stepMillisPerSequence + contextMillisPerThousand * prompt / THOUSAND;
    return promptSteps * stepMillis + reading + attention + stepsPerPass * step;
  }
}
