package bench

import (
	"image/color"
	"os"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgimg"
)

var plotColors = []color.Color{
	color.RGBA{R: 120, G: 60, B: 170, A: 255}, color.RGBA{R: 200, G: 200, B: 200, A: 255}, color.RGBA{R: 150, G: 180, B: 210, A: 255},
	color.RGBA{R: 90, G: 150, B: 120, A: 255}, color.RGBA{R: 220, G: 150, B: 80, A: 255}, color.RGBA{R: 60, G: 60, B: 60, A: 255},
}

const (
	plotWidth  = 14 * vg.Inch
	plotHeight = 5 * vg.Inch
	barWidth   = 8
)

// Plot writes a PNG file with the weighted attainment by scenario and policy, one
// chart per fleet.
func Plot(file string, results []*Result) error {
	var parts []*plot.Plot
	for i := range fleets {
		if part := plotFleet(fleets[i].name, results); part != nil {
			parts = append(parts, part)
		}
	}
	image := vgimg.New(plotWidth, plotHeight*vg.Length(len(parts)))
	canvas := draw.New(image)
	tiles := draw.Tiles{Rows: len(parts), Cols: 1}
	for i, part := range parts {
		part.Draw(tiles.At(canvas, 0, i))
	}
	out, err := os.Create(file)
	if err != nil {
		return err
	}
	defer out.Close()
	if _, err := (vgimg.PngCanvas{Canvas: image}).WriteTo(out); err != nil {
		return err
	}
	return out.Close()
}

func plotFleet(fleet string, results []*Result) *plot.Plot {
	values := map[string]plotter.Values{}
	var names, scenarios []string
	for _, out := range results {
		if out.Fleet != fleet {
			continue
		}
		if values[out.Policy] == nil {
			names = append(names, out.Policy)
		}
		if len(scenarios) == 0 || scenarios[len(scenarios)-1] != out.Scenario {
			scenarios = append(scenarios, out.Scenario)
		}
		values[out.Policy] = append(values[out.Policy], out.weighted())
	}
	if len(names) == 0 {
		return nil
	}
	p := plot.New()
	p.Title.Text = fleet + ": attainment of targets, weighted by tier (%)"
	p.Y.Min, p.Y.Max = 0, 100
	p.Legend.Top = true
	for i, name := range names {
		bars, err := plotter.NewBarChart(values[name], vg.Points(barWidth))
		if err != nil {
			continue
		}
		bars.Color = plotColors[i%len(plotColors)]
		bars.Offset = vg.Points(float64(barWidth) * (float64(i) - float64(len(names)-1)/2))
		p.Add(bars)
		p.Legend.Add(name, bars)
	}
	p.NominalX(scenarios...)
	// Space for the legend.
	p.X.Max = float64(len(scenarios)) + 0.3
	return p
}
