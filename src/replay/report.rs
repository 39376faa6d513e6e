//! Histograms and tables of a run.
