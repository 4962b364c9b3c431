//! Scores of all engines, to explain a choice.

use super::{EngineView, Phase, Placement, Prompt, best_one_stage, best_two_stage};

/// Scores of an engine: those of the best placements that use it.
#[derive(Debug, Default, Clone, Copy, PartialEq)]
pub struct EngineScores {
    /// Score if the engine runs prefill and decode; `None` if it may not run both.
    pub one_stage: Option<f64>,
    /// Score if it runs one of them, and the best other engine the other one; `None` if it may not.
    pub two_stage: Option<f64>,
}

impl EngineScores {
    /// Returns the lower score; `None` if no placement uses the engine.
    pub fn best(&self) -> Option<f64> {
        match (self.one_stage, self.two_stage) {
            (Some(one), Some(two)) => Some(one.min(two)),
            (one, two) => one.or(two),
        }
    }
}

/// Returns the scores of each engine, in the order of `engines`. The best of them is the score of the
/// placement that [`super::choose`] returns.
pub fn scores(engines: &[EngineView], prompt: &Prompt) -> Vec<EngineScores> {
    let any_prefill = engines.iter().find(|e| e.phase == Phase::Prefill).copied();
    let best = best_two_stage(engines, prompt).map(|(_, choice)| choice.placement);
    let of_engine = |engine: &EngineView| match engine.phase {
        Phase::Decode => {
            // Whether there are prefill engines limits the prefills that decode engines run.
            let alone: Vec<EngineView> = [*engine].into_iter().chain(any_prefill).collect();
            EngineScores {
                one_stage: best_one_stage(&alone, prompt).map(|(score, _)| score),
                two_stage: best.and_then(|best| pair_score(engines, best, engine, prompt)),
            }
        }
        Phase::Prefill => EngineScores {
            one_stage: None,
            two_stage: best.and_then(|best| pair_score(engines, best, engine, prompt)),
        },
    };
    engines.iter().map(of_engine).collect()
}

/// Returns the score of the best pair after one of its engines is replaced by `engine`.
fn pair_score(
    engines: &[EngineView],
    best: Placement,
    engine: &EngineView,
    prompt: &Prompt,
) -> Option<f64> {
    let Placement::TwoStage { prefill, decode } = best else {
        return None;
    };
    let other = match engine.phase {
        Phase::Decode => engines[prefill],
        Phase::Prefill => engines[decode],
    };
    best_two_stage(&[other, *engine], prompt).map(|(score, _)| score)
}
